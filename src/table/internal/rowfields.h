#pragma once

#include "table/internal/rows.h"

namespace acaciasail::table {

/// Calls visitor(column name, member) for each column of a row, in the order of the columns.
template<class Visitor>
void visitFields(WorkspaceRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("models", row.models);
    visitor("services", row.services);
    visitor("quality_target", row.qualityTarget);
    visitor("highest_rank", row.highestRank);
    visitor("ratings_fallback", row.ratingsFallback);
    visitor("urgent_skips_cascade", row.urgentSkipsCascade);
    visitor("cost_weight", row.costWeight);
    visitor("latency_weight", row.latencyWeight);
    visitor("share", row.share);
}

template<class Visitor>
void visitFields(CallerRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("workspace", row.workspace);
    visitor("key_sha256", row.keySha256);
    visitor("highest_rank", row.highestRank);
    visitor("share", row.share);
}

template<class Visitor>
void visitFields(ModelRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
}

template<class Visitor>
void visitFields(VersionRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("model", row.model);
    visitor("state", row.state);
    visitor("input_price", row.inputPrice);
    visitor("output_price", row.outputPrice);
    visitor("prior_quality", row.priorQuality);
    visitor("context", row.context);
}

template<class Visitor>
void visitFields(WeightRow &row, Visitor &&visitor)
{
    visitor("workspace", row.workspace);
    visitor("version", row.version);
    visitor("weight", row.weight);
}

template<class Visitor>
void visitFields(LimitRow &row, Visitor &&visitor)
{
    visitor("scope", row.scope);
    visitor("subject", row.subject);
    visitor("requests_per_second", row.requestsPerSecond);
    visitor("tokens_per_minute", row.tokensPerMinute);
    visitor("concurrency", row.concurrency);
}

template<class Visitor>
void visitFields(UpstreamRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("kind", row.kind);
    visitor("data_centre", row.dataCentre);
    visitor("address", row.endpoint);
    visitor("state", row.state);
    visitor("versions", row.versions);
    visitor("services", row.services);
    visitor("checks_fencing", row.checksFencing);
}

template<class Visitor>
void visitFields(RolloutRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("baseline", row.baseline);
    visitor("candidate", row.candidate);
    visitor("state", row.state);
    visitor("exposure", row.exposure);
    visitor("max_error_increase", row.maxErrorIncrease);
    visitor("max_latency_factor", row.maxLatencyFactor);
    visitor("max_quality_drop", row.maxQualityDrop);
}

template<class Visitor>
void visitFields(ServiceRow &row, Visitor &&visitor)
{
    visitor("id", row.id);
    visitor("non_idempotent", row.nonIdempotent);
    visitor("timeout", row.timeout);
    visitor("price_per_call", row.pricePerCall);
}

} // namespace acaciasail::table
