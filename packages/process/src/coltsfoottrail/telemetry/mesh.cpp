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

/// Mirrors the counters of a mesh in the registry. The mesh counts from its
/// start, so each scrape adds the increase since the last one.
class MeshMetrics {
public:
  MeshMetrics(Metrics &Target, const Mesh &Source);
  void refresh();

private:
  void add(CounterId Id, std::uint64_t Current, std::uint64_t Previous) {
    Registry.add(Id, Current - Previous);
  }

  Metrics &Registry;
  const Mesh &Connections;
  std::mutex Mutex;
  MeshCounters Previous;
  std::array<ChannelSeries, ChannelCount> Channels;
  CounterId UnknownChannel;
  CounterId Malformed;
  CounterId FromRetiredRun;
  CounterId HandlerFailures;
  CounterId Refused;
  GaugeId Connected;
  GaugeId QueuedBytes;
};

MeshMetrics::MeshMetrics(Metrics &Target, const Mesh &Source)
    : Registry(Target), Connections(Source) {
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const std::vector<Label> Labels = {
        {"channel", std::string(channelName(static_cast<Channel>(Index)))}};
    Channels[Index] = {
        Target.counter("coltsfoottrail_mesh_sent_messages_total",
                       "Messages that waited to be sent to entry hosts.",
                       Labels),
        Target.counter("coltsfoottrail_mesh_sent_bytes_total",
                       "Their bytes, encoded.", Labels),
        Target.counter("coltsfoottrail_mesh_received_messages_total",
                       "Messages of entry hosts.", Labels),
        Target.counter("coltsfoottrail_mesh_received_bytes_total",
                       "Their bytes, encoded.", Labels),
        Target.counter("coltsfoottrail_mesh_dropped_messages_total",
                       "Messages to entry hosts that were refused, replaced by "
                       "newer ones or lost with a connection.",
                       Labels)};
  }
  UnknownChannel =
      Target.counter("coltsfoottrail_mesh_unknown_channel_total",
                     "Messages of a channel that this release does not know.");
  Malformed = Target.counter("coltsfoottrail_mesh_malformed_total",
                             "Messages that could not be decoded.");
  FromRetiredRun = Target.counter("coltsfoottrail_mesh_old_run_total",
                                  "Messages of a run that was cut off.");
  HandlerFailures = Target.counter("coltsfoottrail_mesh_handler_failures_total",
                                   "Messages whose handling failed.");
  Refused = Target.counter("coltsfoottrail_mesh_refused_connections_total",
                           "Connections of entry hosts that were refused.");
  Connected = Target.gauge("coltsfoottrail_mesh_connected_hosts",
                           "Entry hosts that are connected.");
  QueuedBytes = Target.gauge("coltsfoottrail_mesh_queued_bytes",
                             "Bytes that wait to be sent to entry hosts.");
}

void MeshMetrics::refresh() {
  const std::lock_guard Lock(Mutex);
  const MeshCounters Current = Connections.counters();
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const ChannelCounters &ChannelNow = Current.Channels[Index];
    const ChannelCounters &ChannelBefore = Previous.Channels[Index];
    add(Channels[Index].MessagesOut, ChannelNow.MessagesOut,
        ChannelBefore.MessagesOut);
    add(Channels[Index].BytesOut, ChannelNow.BytesOut, ChannelBefore.BytesOut);
    add(Channels[Index].MessagesIn, ChannelNow.MessagesIn,
        ChannelBefore.MessagesIn);
    add(Channels[Index].BytesIn, ChannelNow.BytesIn, ChannelBefore.BytesIn);
    add(Channels[Index].Dropped, ChannelNow.Dropped, ChannelBefore.Dropped);
  }
  add(UnknownChannel, Current.UnknownChannel, Previous.UnknownChannel);
  add(Malformed, Current.Malformed, Previous.Malformed);
  add(FromRetiredRun, Current.FromRetiredRun, Previous.FromRetiredRun);
  add(HandlerFailures, Current.HandlerFailures, Previous.HandlerFailures);
  add(Refused, Current.RefusedConnections, Previous.RefusedConnections);
  Registry.set(Connected, static_cast<double>(Current.Connected));
  Registry.set(QueuedBytes, static_cast<double>(Current.QueuedBytes));
  Previous = Current;
}

} // namespace

void exposeMeshMetrics(Metrics &Registry, const Mesh &Source) {
  Registry.onScrape([Exported = std::make_shared<MeshMetrics>(
                         Registry, Source)] { Exported->refresh(); });
}

} // namespace coltsfoottrail
