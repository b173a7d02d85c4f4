/** @file store.cpp */
