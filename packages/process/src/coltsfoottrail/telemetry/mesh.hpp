/// @file
/// Exposes the mesh's counters as metrics.
#ifndef COLTSFOOTTRAIL_TELEMETRY_MESH_HPP
#define COLTSFOOTTRAIL_TELEMETRY_MESH_HPP

#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/telemetry/metrics.hpp"

namespace coltsfoottrail {

/// @brief Registers the mesh's counters, which are read at each scrape. Call it
/// once per mesh. Thread-safe.
/// @param Registry The registry.
/// @param Source The mesh; must outlive the last scrape.
void exposeMeshMetrics(Metrics &Registry, const Mesh &Source);

} // namespace coltsfoottrail

#endif
