import {setTimeout as wait} from 'node:timers/promises';
import {measureFleet} from '@valvesaddle/cluster-view';
import {clusterStateSchema} from './cluster-state-schema.ts';
import {heartbeatSchema} from './heartbeat-schema.ts';
import {loadNewsSchema} from './load-news-schema.ts';
import type {PeerSync} from './peer-sync.ts';
import type {PeerSyncOptions} from './peer-sync-options.ts';

type Handlers = Readonly<Record<string, (parameters: unknown, node: string) => unknown>>;

/**
 Creates the exchange of beliefs and work with peers, and the handlers for their messages. A node that is behind a peer
 asks it for its state, so a node that the store refuses stays up to date.

 @example
 const {sync, handlers} = createPeerSync(options);
 await network.listen(handlers);
 sync.start();
 */
export function createPeerSync(options: PeerSyncOptions): {readonly sync: PeerSync; readonly handlers: Handlers} {
	const {network, view, follower, selector, logger, metrics} = options;
	let isAsking = false;
	const closing = new AbortController();

	async function askState(node: string): Promise<void> {
		isAsking = true;
		const answered = await network.call(node, 'cluster.state', {});
		isAsking = false;
		answered.match(state => {
			const parsed = clusterStateSchema.safeParse(state);
			if (!parsed.success) {
				return;
			}

			metrics.increment('gateway.states-from-peers');
			view.importState(parsed.data);
		}, error => {
			logger.info({
				name: 'peer-state', peer: node, reachable: false, reason: error.message,
			});
		});
	}

	/**
	Runs a step again and again, less often in a larger fleet.
	*/
	async function runRepeatedly(milliseconds: number, step: () => void): Promise<void> {
		while (!closing.signal.aborted) {
			step();
			// eslint-disable-next-line no-await-in-loop -- one step after the other
			await wait(milliseconds * measureFleet(view.nodes().length), undefined, {ref: false});
		}
	}

	function sendNews(): void {
		const news = selector.takeNews();
		if (news !== undefined) {
			network.broadcast('load.news', news);
		}
	}

	function sendHeartbeat(): void {
		network.broadcast('cluster.heartbeat', {revision: view.revision(), isSteady: follower.isSteady()});
	}

	/**
	Of two nodes the one with the smaller id opens the link.
	*/
	function openLinks(): void {
		const connected = new Set(network.connected());
		selector.setUnseenFactor(Math.max(1, view.nodes().length / (connected.size + 1)));
		for (const {id} of view.nodes()) {
			if (id > options.node && !connected.has(id)) {
				network.notify(id, 'load.news', selector.listOwn());
			}
		}
	}

	const handlers: Handlers = {
		'load.news'(parameters, node) {
			selector.applyNews(node, loadNewsSchema.parse(parameters));
		},
		'cluster.heartbeat'(parameters, node) {
			const {revision, isSteady} = heartbeatSchema.parse(parameters);
			if (isSteady && !isAsking && revision > view.revision()) {
				void askState(node);
			}
		},
		'cluster.state': () => view.exportState(follower.isSteady()),
	};

	network.events.on('lost', ({data: {node}}) => {
		selector.removeNode(node);
		logger.info({name: 'peer-state', peer: node, reachable: false});
	});
	network.events.on('found', ({data: {node}}) => {
		logger.info({name: 'peer-state', peer: node, reachable: true});
		network.notify(node, 'load.news', selector.listOwn());
	});

	return {
		sync: {
			start() {
				void runRepeatedly(options.newsMs, sendNews);
				void runRepeatedly(options.heartbeatMs, () => {
					sendHeartbeat();
					openLinks();
				});
			},
			close() {
				closing.abort();
			},
		},
		handlers,
	};
}
