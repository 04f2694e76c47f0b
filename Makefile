# Shortcuts for the commands of README.md. CMake does the build itself.
BUILD ?= build

.PHONY: all install build demo demo-platform test thrift format lint

all: build

install:
	./.ci/install

build:
	cmake -G Ninja -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCUMINDALE_WARNINGS_AS_ERRORS=ON >/dev/null
	ninja -C $(BUILD)

demo: install build
	./standins/demo.sh

demo-platform: install build
	./platform/standin/demo.sh

test: install build
	ctest --test-dir $(BUILD) --output-on-failure --no-tests=error -j 4 $(if $(SKIP_TESTS),-E '^($(SKIP_TESTS))$$')

thrift:
	cd packages/peers && thrift --gen cpp:no_skeleton -out gen peers.thrift && thrift --gen cpp:no_skeleton -out gen coordination.thrift \
		&& thrift --gen cpp:no_skeleton -out gen slots.thrift

format:
	clang-format -i $$(git ls-files '*.cpp' '*.h' ':!packages/peers/gen')

lint:
	./.ci/lint

.PHONY: prove prove-quick bench slopes

prove: build
	./bench/prove_all.sh

prove-quick: build
	LOSSES=3 ./bench/prove.sh leaves crash freeze short_freeze

bench: build
	RESULT=$(BUILD)/slopes.json ./bench/bounds.sh
	./bench/http.sh

slopes: build
	./bench/slopes.sh

.PHONY: report

report: build
	$(BUILD)/bin/bench-placement --svg report

.PHONY: soak

# SEED=n repeats the order of faults; MINUTES for each of the two paths.
MINUTES ?= 10

soak: build
	SOAK=$$(($(MINUTES) * 60)) ./platform/standin/soak.sh
	SOAK=$$(($(MINUTES) * 60)) ./bench/soak.sh

.PHONY: soak-quick

soak-quick: build
	SEED=1 SOAK=15 ./platform/standin/soak.sh
	SEED=1 SOAK=15 ./bench/soak.sh

.PHONY: days

days:
	./bench/days.sh
