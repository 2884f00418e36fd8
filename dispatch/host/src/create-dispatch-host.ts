import {createPoolDispatcher, type PoolDispatcher} from '@valvesaddle/pool';
import {rankOwners} from '@valvesaddle/ownership';
import type {AcquireRequest} from '@valvesaddle/messages';
import type {DispatchHost} from './dispatch-host.ts';
import type {DispatchHostOptions} from './dispatch-host-options.ts';

const tickMs = 100;
/**
A dispatcher without grants and waiting requests is closed after this time.
*/
const idleMs = 60_000;

type Duty = {
	readonly dispatcher: PoolDispatcher;
	usedAt: number;
	polledAt: number;
	/**
	When this node stopped being the owner; 0 while it is.
	*/
	lostAt: number;
};

/**
Ownership must be gone for so long before a dispatcher is closed, so that a short suspicion moves nothing.
*/
const handOverMs = 1000;

/**
 Creates the host of a node's dispatch duties.

 @example
 const reply = await host.acquire(request);
 */
export function createDispatchHost(options: DispatchHostOptions): DispatchHost {
	const duties = new Map<string, Duty>();
	/**
	Rank order of the owners by pool, until the members or the pools change.
	*/
	const rankings = new Map<string, readonly string[]>();

	function getRanking(pool: string): readonly string[] {
		const known = rankings.get(pool);
		if (known !== undefined) {
			return known;
		}

		const region = options.configuration().pools.find(({name}) => name === pool)?.region;
		const ranking = rankOwners(pool, options.membership.routers(region));
		rankings.set(pool, ranking);
		return ranking;
	}

	function findOwner(pool: string, skipped: readonly string[]): string | undefined {
		return getRanking(pool).find(node => !skipped.includes(node));
	}

	function openDuty(pool: string): Duty {
		const existing = duties.get(pool);
		if (existing !== undefined) {
			existing.usedAt = Date.now();
			return existing;
		}

		const isLone = options.membership.others().length === 0;
		const dispatcher = createPoolDispatcher({
			pool,
			configuration: options.configuration(),
			leaving: options.membership.leavingEndpoints(),
			warmupMs: isLone ? 0 : options.warmupMs,
			grantLeaseMs: options.grantLeaseMs,
			metrics: options.metrics,
		});
		dispatcher.events.on('endpointState', ({data}) => {
			options.logger.info({name: 'endpoint-state', pool, ...data});
		});
		const duty: Duty = {
			dispatcher, usedAt: Date.now(), polledAt: 0, lostAt: 0,
		};
		duties.set(pool, duty);
		options.logger.info({name: 'dispatcher-opened', pool});
		return duty;
	}

	function closeDuty(pool: string, duty: Duty): void {
		duties.delete(pool);
		const waiting = duty.dispatcher.close();
		options.logger.info({name: 'dispatcher-closed', pool, waiting});
	}

	function checkOwnership(pool: string, duty: Duty, now: number): void {
		if (findOwner(pool, []) === options.node) {
			duty.lostAt = 0;
		} else {
			duty.lostAt ||= now;
		}

		const isLost = duty.lostAt > 0 && now - duty.lostAt >= handOverMs;
		const isIdle = duty.dispatcher.isIdle() && now - duty.usedAt >= idleMs;
		if (isLost || isIdle) {
			closeDuty(pool, duty);
		}
	}

	async function readLoads(dispatcher: PoolDispatcher): Promise<void> {
		await Promise.all(dispatcher.endpoints().map(async endpoint => {
			const report = await options.readLoad(endpoint);
			if (report !== undefined) {
				dispatcher.observeLoad(endpoint.id, report);
			}
		}));
	}

	const timer = setInterval(() => {
		const now = Date.now();
		for (const [pool, duty] of duties) {
			duty.dispatcher.tick();
			if (now - duty.polledAt >= options.loadPollMs) {
				duty.polledAt = now;
				void readLoads(duty.dispatcher);
			}

			checkOwnership(pool, duty, now);
		}
	}, tickMs);
	timer.unref();

	function applyConfiguration(): void {
		rankings.clear();
		for (const {dispatcher} of duties.values()) {
			dispatcher.configure(options.configuration(), options.membership.leavingEndpoints());
		}
	}

	options.membership.events.on('changed', applyConfiguration);

	async function acquireTraced(request: AcquireRequest): Promise<Awaited<ReturnType<PoolDispatcher['acquire']>>> {
		const hop = options.tracing.startHop('dispatch.queue', request.trace);
		hop.setAttribute('pool', request.pool);
		const reply = await openDuty(request.pool).dispatcher.acquire(request);
		hop.setAttribute('reply', reply.kind);
		hop.end();
		return reply;
	}

	return {
		async acquire(request) {
			const owner = findOwner(request.pool, request.skipped);
			return owner === options.node || request.forced ? acquireTraced(request) : {kind: 'moved', owner, admitted: false};
		},
		cancel({pool, requestId}) {
			duties.get(pool)?.dispatcher.cancel(requestId);
		},
		release(report) {
			duties.get(report.pool)?.dispatcher.release(report);
		},
		progress({pool, node, reports}) {
			duties.get(pool)?.dispatcher.progress(node, reports);
		},
		register(request) {
			openDuty(request.pool).dispatcher.register(request);
		},
		dropNode(node) {
			for (const {dispatcher} of duties.values()) {
				dispatcher.dropNode(node);
			}
		},
		configure: applyConfiguration,
		findOwner,
		status: () => duties.values().map(({dispatcher}) => dispatcher.status()).toArray(),
		close() {
			clearInterval(timer);
			for (const [pool, duty] of duties) {
				closeDuty(pool, duty);
			}
		},
	};
}
