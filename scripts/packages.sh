#!/usr/bin/env bash
# Installs the packages that building, testing and running need.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy
  libcaf-dev libzmq3-dev cppzmq-dev libprotobuf-dev prometheus-cpp-dev
  libboost1.81-dev libboost-json1.81-dev liblog4cplus-dev libsodium-dev
  libxxhash-dev zlib1g-dev catch2 libtrompeloeil-cpp-dev libbenchmark-dev spin python3
)
command -v npm >/dev/null || packages+=(nodejs npm)
missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -q --no-install-recommends "${missing[@]}"
