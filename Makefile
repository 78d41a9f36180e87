# Entry points for people and CI; the build itself is CMake's.
BUILD := build
PACKAGES := libcxxtools-dev libcereal-dev libboost-dev libspdlog-dev libdocopt-dev libexpected-dev \
            catch2 libxxhash-dev librapidcheck-dev libhttp-parser-dev nlohmann-json3-dev curl \
            cmake ninja-build clang-format clang-tidy python3
SUDO := $(shell [ "$$(id -u)" = 0 ] || echo sudo)

.PHONY: demo test build packages format check-format lint unit measure capacity clean

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	cmake --build $(BUILD)

packages:
	@sh tools/packages.sh $(PACKAGES)

demo: build
	sh tools/demo.sh $(BUILD)

test: check-format build lint unit

unit: build
	sh tools/unit.sh $(BUILD)

format:
	clang-format -i $$(git ls-files '*.h' '*.cpp')

check-format: packages
	clang-format --dry-run --Werror $$(git ls-files '*.h' '*.cpp')

lint: build
	sh tools/lint.sh $(BUILD)

measure: build
	$(BUILD)/bench/measure

capacity: build
	$(BUILD)/bench/capacity
	$(BUILD)/bench/measure --cost
	$(BUILD)/bench/claims
	$(BUILD)/bench/release-cost
	$(BUILD)/bench/path

clean:
	rm -rf $(BUILD)
