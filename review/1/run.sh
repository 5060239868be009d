#!/bin/bash
exec bash "$(dirname "$0")/../run-case.sh" pinned 1
