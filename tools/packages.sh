#!/bin/sh
# Installs those Debian packages among the arguments that are missing. Usage: packages.sh PACKAGE...
set -eu
missing=
for package in "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
echo "installing$missing"
$sudo apt-get update -qq
# shellcheck disable=SC2086  # the list is split on purpose
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing > /dev/null
