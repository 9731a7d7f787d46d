#!/bin/bash
# Installs the packages needed for building and testing with apt-get.
set -eu
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy curl
  libabsl-dev libyaml-cpp-dev libboost-dev
  libboost-program-options-dev liblog4cplus-dev nlohmann-json3-dev doctest-dev
  libxxhash-dev
)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}"
fi
