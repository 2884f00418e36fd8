import type {MetricsPage} from './metrics-page.ts';

/**
Options of `createMetrics`; without a host nothing is sent, only summed up.
*/
export type MetricsOptions = {
	/**
	StatsD host, an IP number.
	*/
	readonly host?: string | undefined;
	readonly port?: number | undefined;
	readonly node?: string | undefined;
	/**
	Page that shows the same figures as text.
	*/
	readonly page?: MetricsPage;
};
