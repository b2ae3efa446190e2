#!/usr/bin/env bash
# Plays the case in the folder $1. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$1" || exit 2
timeout -k 3 116 python3 case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
