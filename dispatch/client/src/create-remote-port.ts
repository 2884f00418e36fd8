import {unwrapResult} from '@valvesaddle/error';
import type {PeerNetwork} from '@valvesaddle/network';
import {acquireReplySchema, toAcquireMessage, type DispatchPort} from '@valvesaddle/messages';

/**
 Creates a port that calls the dispatchers on another node.

 @example
 const port = createRemotePort(network, 'b1');
 const reply = await port.acquire(request);
 */
export function createRemotePort(network: PeerNetwork, node: string): DispatchPort {
	return {
		async acquire(request) {
			const reply = unwrapResult(await network.call(node, 'dispatch.acquire', toAcquireMessage(request)));
			return acquireReplySchema.parse(reply);
		},
		cancel(message) {
			network.notify(node, 'dispatch.cancel', message);
		},
		release(report) {
			network.notify(node, 'dispatch.release', report);
		},
		progress(message) {
			network.notify(node, 'dispatch.progress', message);
		},
		register(request) {
			network.notify(node, 'dispatch.register', request);
		},
	};
}
