#!/usr/bin/env bash
# TROUBLE=0 runs the case without its disruption.
exec "$(dirname "$0")/../standins-2/run-case" 9
