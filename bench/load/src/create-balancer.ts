import {Agent, request} from 'undici';
import type {Balancer} from './balancer.ts';

const checkMs = 500;
const checkTimeoutMs = 300;

/**
 Creates a balancer over the callers' addresses of nodes.

 @example
 const balancer = createBalancer(['127.0.0.1:7100']);
 balancer.pick();
 */
export function createBalancer(addresses: readonly string[]): Balancer {
	const agent = new Agent();
	const ready = new Set(addresses);
	let turn = 0;

	async function check(address: string): Promise<void> {
		try {
			const response = await request(`http://${address}/readyz`, {dispatcher: agent, signal: AbortSignal.timeout(checkTimeoutMs)});
			await response.body.dump();
			if (response.statusCode === 200) {
				ready.add(address);
			} else {
				ready.delete(address);
			}
		} catch {
			ready.delete(address);
		}
	}

	const timer = setInterval(() => {
		for (const address of addresses) {
			void check(address);
		}
	}, checkMs);

	return {
		pick() {
			const candidates = ready.size > 0 ? [...ready] : addresses;
			return candidates[turn++ % candidates.length] ?? '';
		},
		markBroken(address) {
			ready.delete(address);
		},
		close() {
			clearInterval(timer);
			void agent.destroy();
		},
	};
}
