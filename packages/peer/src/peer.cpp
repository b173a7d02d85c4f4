/** @file peer.cpp */
