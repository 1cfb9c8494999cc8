#include "coltsfoottrail/telemetry/mesh.hpp"

#include <memory>

namespace coltsfoottrail {

namespace {

struct ChannelSeries {
  CounterId MessagesOut;
  CounterId BytesOut;
  CounterId MessagesIn;
  CounterId BytesIn;
  CounterId Dropped;
};

/// The mesh counts from its start; the registry is told what came since the
/// last scrape.
class MeshMetrics {
public:
  MeshMetrics(Metrics &Into, const Mesh &From);
  void refresh();

private:
  void add(CounterId Which, std::uint64_t Now, std::uint64_t Before) {
    Registry.add(Which, Now - Before);
  }

  Metrics &Registry;
  const Mesh &Links;
  std::mutex Mutex;
  MeshCounters Last;
  std::array<ChannelSeries, ChannelCount> Channels;
  CounterId UnknownChannel;
  CounterId Malformed;
  CounterId FromOldRun;
  CounterId HandlerFailures;
  CounterId Refused;
  GaugeId Connected;
  GaugeId QueuedBytes;
};

MeshMetrics::MeshMetrics(Metrics &Into, const Mesh &From)
    : Registry(Into), Links(From) {
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const std::vector<Label> Labels = {
        {"channel", std::string(channelName(static_cast<Channel>(Index)))}};
    Channels[Index] = {
        Into.counter("coltsfoottrail_mesh_sent_messages_total",
                     "Messages that waited to be sent to entry hosts.", Labels),
        Into.counter("coltsfoottrail_mesh_sent_bytes_total",
                     "Their bytes, encoded.", Labels),
        Into.counter("coltsfoottrail_mesh_received_messages_total",
                     "Messages of entry hosts.", Labels),
        Into.counter("coltsfoottrail_mesh_received_bytes_total",
                     "Their bytes, encoded.", Labels),
        Into.counter("coltsfoottrail_mesh_dropped_messages_total",
                     "Messages to entry hosts that were refused, replaced by "
                     "newer ones or lost with a connection.",
                     Labels)};
  }
  UnknownChannel =
      Into.counter("coltsfoottrail_mesh_unknown_channel_total",
                   "Messages of a channel that this release does not know.");
  Malformed = Into.counter("coltsfoottrail_mesh_malformed_total",
                           "Messages that could not be decoded.");
  FromOldRun = Into.counter("coltsfoottrail_mesh_old_run_total",
                            "Messages of a run that was cut off.");
  HandlerFailures = Into.counter("coltsfoottrail_mesh_handler_failures_total",
                                 "Messages whose handling failed.");
  Refused = Into.counter("coltsfoottrail_mesh_refused_connections_total",
                         "Connections of entry hosts that were refused.");
  Connected = Into.gauge("coltsfoottrail_mesh_connected_hosts",
                         "Entry hosts that are connected.");
  QueuedBytes = Into.gauge("coltsfoottrail_mesh_queued_bytes",
                           "Bytes that wait to be sent to entry hosts.");
}

void MeshMetrics::refresh() {
  const std::lock_guard Lock(Mutex);
  const MeshCounters Now = Links.counters();
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const ChannelCounters &Its = Now.Channels[Index];
    const ChannelCounters &Before = Last.Channels[Index];
    add(Channels[Index].MessagesOut, Its.MessagesOut, Before.MessagesOut);
    add(Channels[Index].BytesOut, Its.BytesOut, Before.BytesOut);
    add(Channels[Index].MessagesIn, Its.MessagesIn, Before.MessagesIn);
    add(Channels[Index].BytesIn, Its.BytesIn, Before.BytesIn);
    add(Channels[Index].Dropped, Its.Dropped, Before.Dropped);
  }
  add(UnknownChannel, Now.UnknownChannel, Last.UnknownChannel);
  add(Malformed, Now.Malformed, Last.Malformed);
  add(FromOldRun, Now.FromOldRun, Last.FromOldRun);
  add(HandlerFailures, Now.HandlerFailures, Last.HandlerFailures);
  add(Refused, Now.RefusedConnections, Last.RefusedConnections);
  Registry.set(Connected, static_cast<double>(Now.Connected));
  Registry.set(QueuedBytes, static_cast<double>(Now.QueuedBytes));
  Last = Now;
}

} // namespace

void exposeMeshMetrics(Metrics &Into, const Mesh &From) {
  Into.onScrape([Shown = std::make_shared<MeshMetrics>(Into, From)] {
    Shown->refresh();
  });
}

} // namespace coltsfoottrail
