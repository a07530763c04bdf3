#!/bin/bash
# A planned stop of one machine while replicas are replaced. TROUBLE=0 leaves the stops out.
exec "$(dirname "$0")/../play-3.sh" drain review/12
