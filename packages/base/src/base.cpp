/** @file base.cpp Compiles base_type.h on its own, so that it stays self-contained. */
#include "base_type.h"
