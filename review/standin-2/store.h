/** @file store.h The platform's metadata store and the application servers. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "world.h"

namespace review {

/** Starts the store at a free port. */
void startStore(world &in);

/** Writes an item as the operator does. */
void putItem(world &in, const std::string &key, const std::string &value);

/** Starts to listen for requests at the address of a server. */
void listenForRequests(world &in, const std::shared_ptr<app_server> &server);

} // namespace review

#endif // REVIEW_STORE_H
