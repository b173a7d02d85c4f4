/** @file target.cpp */
