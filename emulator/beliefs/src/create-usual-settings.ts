import {parseGatewaySettings, type GatewaySettings} from '@valvesaddle/settings';

/**
 Creates the settings of a node that sets no times of its own.

 @example
 createUsualSettings().peers.heartbeat_ms; // 250
 */
export function createUsualSettings(): Pick<GatewaySettings, 'store' | 'peers'> {
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
	`)._unsafeUnwrap();
}
