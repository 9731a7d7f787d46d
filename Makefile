SEED ?= 1
STEPS ?= 20000

.PHONY: all install build demo test bench capacity soak format lint

all: build

install:
	scripts/install.sh

build:
	cmake -S . -B build -G Ninja
	cmake --build build

demo: install build
	scripts/demo.sh

test: install build
	ctest --test-dir build --output-on-failure

soak: install build
	build/bin/corianderpost-soak --seed $(SEED) --steps $(STEPS)

bench: install build
	scripts/bench.sh

capacity: install build
	scripts/capacity.sh

format:
	clang-format -i $$(git ls-files '*.cc' '*.h')

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cc' '*.h')
	scripts/tidy.sh
