import {createPoolDispatcher, type PoolDispatcher} from '@valvesaddle/pool';
import {createDutyIndex, rankOwners} from '@valvesaddle/ownership';
import type {AcquireRequest} from '@valvesaddle/messages';
import type {DispatchHost} from './dispatch-host.ts';
import type {DispatchHostOptions} from './dispatch-host-options.ts';

const tickMs = 100;
/**
A dispatcher without grants and waiting requests is closed after this time without use.
*/
const idleTimeoutMs = 60_000;

type OpenDuty = {
	readonly dispatcher: PoolDispatcher;
	usedAt: number;
	polledAt: number;
	/**
	Time at which this node stopped being the owner, in milliseconds since the epoch; 0 while it is the owner.
	*/
	lostAt: number;
};

/**
Time from the loss of ownership to the closing of a dispatcher, so that a short suspicion doesn't move it.
*/
const ownershipGraceMs = 1000;

/**
 Creates the host of a node's dispatchers.

 @example
 const reply = await host.acquire(request);
 */
export function createDispatchHost(options: DispatchHostOptions): DispatchHost {
	const duties = new Map<string, OpenDuty>();
	/**
	Ranking of the owners by duty; cleared when the members or the configuration change.
	*/
	const rankings = new Map<string, readonly string[]>();

	let index = createDutyIndex(options.configuration());

	function getRanking(duty: string): readonly string[] {
		const known = rankings.get(duty);
		if (known !== undefined) {
			return known;
		}

		const pool = index.findPool(duty);
		const region = options.configuration().pools.find(({name}) => name === pool)?.region;
		const ranking = rankOwners(duty, options.membership.routers(region));
		rankings.set(duty, ranking);
		return ranking;
	}

	function findOwner(duty: string, skipped: readonly string[]): string | undefined {
		return getRanking(duty).find(node => !skipped.includes(node));
	}

	function openDuty(duty: string): OpenDuty {
		const existing = duties.get(duty);
		if (existing !== undefined) {
			existing.usedAt = Date.now();
			return existing;
		}

		const isSingleNode = options.membership.others().length === 0;
		const pool = index.findPool(duty);
		const dispatcher = createPoolDispatcher({
			pool,
			configuration: index.getConfiguration(duty),
			leaving: options.membership.leavingEndpoints(),
			warmupMs: isSingleNode ? 0 : options.warmupMs,
			grantLeaseMs: options.grantLeaseMs,
			metrics: options.metrics,
		});
		dispatcher.events.on('endpointState', ({data}) => {
			options.logger.info({name: 'endpoint-state', pool, ...data});
		});
		const opened: OpenDuty = {
			dispatcher, usedAt: Date.now(), polledAt: 0, lostAt: 0,
		};
		duties.set(duty, opened);
		options.logger.info({name: 'dispatcher-opened', duty});
		return opened;
	}

	function closeDuty(duty: string, {dispatcher}: OpenDuty): void {
		duties.delete(duty);
		const waiting = dispatcher.close();
		options.logger.info({name: 'dispatcher-closed', duty, waiting});
	}

	function checkOwnership(duty: string, opened: OpenDuty, now: number): void {
		if (findOwner(duty, []) === options.node) {
			opened.lostAt = 0;
		} else {
			opened.lostAt ||= now;
		}

		const isLost = opened.lostAt > 0 && now - opened.lostAt >= ownershipGraceMs;
		const isIdle = opened.dispatcher.isIdle() && now - opened.usedAt >= idleTimeoutMs;
		if (isLost || isIdle || !index.isDuty(duty)) {
			closeDuty(duty, opened);
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
		for (const [duty, opened] of duties) {
			opened.dispatcher.tick();
			if (now - opened.polledAt >= options.loadPollMs) {
				opened.polledAt = now;
				void readLoads(opened.dispatcher);
			}

			checkOwnership(duty, opened, now);
		}
	}, tickMs);
	timer.unref();

	function applyConfiguration(): void {
		rankings.clear();
		index = createDutyIndex(options.configuration());
		for (const [duty, {dispatcher}] of duties) {
			dispatcher.configure(index.getConfiguration(duty), options.membership.leavingEndpoints());
		}
	}

	options.membership.events.on('changed', applyConfiguration);

	async function acquireWithTrace(request: AcquireRequest): Promise<Awaited<ReturnType<PoolDispatcher['acquire']>>> {
		const hop = options.tracing.startHop('dispatch.queue', request.trace);
		// A node with another configuration may request a duty that this configuration does not contain.
		const duty = index.isDuty(request.duty) ? request.duty : index.chooseDuty(index.findPool(request.duty), request.requestId);
		hop.setAttribute('duty', duty);
		const reply = await openDuty(duty).dispatcher.acquire(request);
		hop.setAttribute('reply', reply.kind);
		hop.end();
		return reply;
	}

	/**
	Finds the dispatcher of a duty. For a duty that this configuration doesn't contain, returns all that may have served it.
	*/
	function findDispatchers(duty: string): readonly PoolDispatcher[] {
		const opened = duties.get(duty);
		if (opened !== undefined) {
			return [opened.dispatcher];
		}

		return index.isDuty(duty) ? [] : duties.values().map(({dispatcher}) => dispatcher).toArray();
	}

	return {
		async acquire(request) {
			const owner = findOwner(request.duty, request.skipped);
			return owner === options.node || request.forced ? acquireWithTrace(request) : {kind: 'moved', owner, admitted: false};
		},
		cancel({duty, requestId}) {
			for (const dispatcher of findDispatchers(duty)) {
				dispatcher.cancel(requestId);
			}
		},
		release(report) {
			for (const dispatcher of findDispatchers(report.duty)) {
				dispatcher.release(report);
			}
		},
		progress({duty, node, reports}) {
			for (const dispatcher of findDispatchers(duty)) {
				dispatcher.progress(node, reports);
			}
		},
		register(request) {
			if (index.isDuty(request.duty)) {
				openDuty(request.duty).dispatcher.register(request);
			}
		},
		dropNode(node) {
			for (const {dispatcher} of duties.values()) {
				dispatcher.dropNode(node);
			}
		},
		configure: applyConfiguration,
		findOwner,
		duties: () => index,
		status: () => duties.values().map(({dispatcher}) => dispatcher.status()).toArray(),
		close() {
			clearInterval(timer);
			for (const [duty, opened] of duties) {
				closeDuty(duty, opened);
			}
		},
	};
}
