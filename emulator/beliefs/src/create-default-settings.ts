import {parseGatewaySettings, type GatewaySettings} from '@valvesaddle/settings';

type DefaultSettingsOptions = {
	/**
	Between two messages on work, in milliseconds; no belief waits for them, and they take the longest to emulate.
	*/
	readonly loadUpdateMs: number;
};

/**
 Creates the settings of a node that sets no other times of its own.

 @example
 createUsualSettings({newsMs: 400}).peers.heartbeat_ms; // 250
 */
export function createDefaultSettings({loadUpdateMs: newsMs}: DefaultSettingsOptions): Pick<GatewaySettings, 'store' | 'peers'> {
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
		news_ms = ${newsMs}
	`)._unsafeUnwrap();
}
