import type {MetricsPage} from './metrics-page.ts';

/**
Options of `createMetrics`. Without a host nothing is sent.
*/
export type MetricsOptions = {
	/**
	IP address of the StatsD host.
	*/
	readonly host?: string | undefined;
	readonly port?: number | undefined;
	readonly node?: string | undefined;
	/**
	Page that serves the same metrics as text.
	*/
	readonly page?: MetricsPage;
};
