/**
Requests of a client account that started in a window, as counted so far by one process: origin, window, account, count.
*/
export type UsageRow = readonly [origin: string, window: number, account: string, count: number];
