/** @file tables.cpp */
