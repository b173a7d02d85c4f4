/** @file base.cpp Compiles the shared types once by themselves. */
#include "base_type.h"
