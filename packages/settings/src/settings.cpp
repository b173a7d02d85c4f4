/** @file settings.cpp */
