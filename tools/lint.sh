#!/bin/sh
# Runs clang-tidy over every source file that changed since its last clean run. Usage: lint.sh BUILD_DIR
set -eu
build=$1
stamps=$build/lint
mkdir -p "$stamps"
# A change of any header or of the rules invalidates every earlier result.
key=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum | cut -c1-16)
git ls-files '*.cpp' | xargs -P "$(nproc)" -I{} sh -c '
    stamp=$1/$(printf "%s" "$3" | tr / _).$(cat "$3" | sha256sum | cut -c1-16).$4
    [ -e "$stamp" ] && exit 0
    output=$(clang-tidy --quiet -p "$2" "$3" 2>/dev/null) || { printf "%s\n" "$output"; exit 1; }
    touch "$stamp"' sh "$stamps" "$build" {} "$key"
echo "lint: clean"
