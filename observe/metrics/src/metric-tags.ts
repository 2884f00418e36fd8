/**
Tags of a metric; values come from small fixed sets.
*/
export type MetricTags = Readonly<Record<string, string>>;
