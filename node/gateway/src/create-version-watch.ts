import type {ClusterView} from '@valvesaddle/cluster-view';
import type {Metrics} from '@valvesaddle/metrics';
import {noVersion} from './no-version.ts';
import type {VersionWatch} from './version-watch.ts';

type VersionWatchOptions = {
	readonly view: Pick<ClusterView, 'configuration'>;
	readonly metrics: Metrics;
};

/**
 Creates the version watch, with gauges of the version in use, the highest version seen and the time for which this node has been behind.

 @example
 const versions = createVersionWatch({view, metrics});
 versions.record(26);
 versions.measureBehind(); // 0 until some time has passed
 */
export function createVersionWatch({view, metrics}: VersionWatchOptions): VersionWatch {
	let highestSeen = noVersion;
	let aheadSince: number | undefined;

	function get(): number {
		return view.configuration()?.version ?? noVersion;
	}

	function isBehind(): boolean {
		return highestSeen > get();
	}

	function measureBehind(): number {
		return aheadSince !== undefined && isBehind() ? performance.now() - aheadSince : 0;
	}

	return {
		get,
		isBehind,
		measureBehind,
		record(version) {
			highestSeen = Math.max(highestSeen, version);
			aheadSince = isBehind() ? aheadSince ?? performance.now() : undefined;
			metrics.gauge('gateway.configuration-version', get());
			metrics.gauge('gateway.configuration-heard', highestSeen);
			metrics.gauge('gateway.configuration-behind-ms', Math.round(measureBehind()));
		},
	};
}
