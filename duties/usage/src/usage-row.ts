/**
Requests of a client account that began in a window at a node's process, counted so far: origin, window, account, count.
*/
export type UsageRow = readonly [origin: string, window: number, account: string, count: number];
