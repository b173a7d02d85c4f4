/** @file telemetry.cpp */
