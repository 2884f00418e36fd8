/**
Tags of a metric; values come from small fixed sets, to bound the number of time series.
*/
export type MetricTags = Readonly<Record<string, string>>;
