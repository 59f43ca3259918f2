#ifndef WAGTAILWIND_REVIEW_REPLICA_HPP_
#define WAGTAILWIND_REVIEW_REPLICA_HPP_

namespace review {

/// \brief Runs a stand-in of a replica: registers itself in the store, answers requests, and writes
/// a line to standard output for each request that arrives, runs, is rejected or ends. Lines on
/// standard input are commands. Returns the exit code.
[[nodiscard]] int RunReplica(int argc, char** argv);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_REPLICA_HPP_
