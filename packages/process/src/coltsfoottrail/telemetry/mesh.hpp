/// @file
/// Shows what the mesh counts as metrics.
#ifndef COLTSFOOTTRAIL_TELEMETRY_MESH_HPP
#define COLTSFOOTTRAIL_TELEMETRY_MESH_HPP

#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/telemetry/metrics.hpp"

namespace coltsfoottrail {

/// @brief Registers the mesh's counters; each scrape reads them. Call it once
/// for a mesh. Thread-safe.
/// @param Into The registry.
/// @param From The mesh; must outlive the last scrape.
void exposeMeshMetrics(Metrics &Into, const Mesh &From);

} // namespace coltsfoottrail

#endif
