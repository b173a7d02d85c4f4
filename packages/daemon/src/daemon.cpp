/** @file daemon.cpp */
