import {parseGatewaySettings, type GatewaySettings} from '@valvesaddle/settings';

type DefaultSettingsOptions = {
	/**
	Interval between load updates, in milliseconds. Changes of the cluster state do not wait for it, and short intervals slow the
	emulation.
	*/
	readonly loadUpdateMs: number;
};

/**
 Creates node settings with default values except for the load update interval.

 @example
 createDefaultSettings({loadUpdateMs: 400}).peers.heartbeat_ms; // 250
 */
export function createDefaultSettings({loadUpdateMs}: DefaultSettingsOptions): Pick<GatewaySettings, 'store' | 'peers'> {
	return parseGatewaySettings(`
		[node]
		name = "n"
		data_centre = "a"
		region = "r"
		[listen]
		callers = "127.0.0.1:0"
		ready = "127.0.0.1:0"
		peers = "127.0.0.1:0"
		[store]
		address = "127.0.0.1:0"
		[peers]
		news_ms = ${loadUpdateMs}
	`)._unsafeUnwrap();
}
