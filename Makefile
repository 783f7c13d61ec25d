# Two commands: `make demo` runs the main job, `make check` passes the tests.
BUILD ?= build
DEPLOYMENT ?= haufiku

.PHONY: demo check build deps format lint

deps:
	tools/install_packages.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

demo: build
	$(BUILD)/toucanknot demo --deployment $(DEPLOYMENT)

check: build
	cd $(BUILD) && ctest --output-on-failure -j 4

format:
	tools/check_format.sh

lint: build
	tools/lint.sh $(BUILD)
