import type {ClusterView} from '@valvesaddle/cluster-view';
import type {Metrics} from '@valvesaddle/metrics';
import {noVersion} from './no-version.ts';
import type {VersionWatch} from './version-watch.ts';

type VersionWatchOptions = {
	readonly view: Pick<ClusterView, 'configuration'>;
	readonly metrics: Metrics;
};

/**
 Creates the watch over versions, with gauges of the version in force, the highest heard of and the time behind it.

 @example
 const versions = createVersionWatch({view, metrics});
 versions.record(26);
 versions.measureBehind(); // 0 until some time has passed
 */
export function createVersionWatch({view, metrics}: VersionWatchOptions): VersionWatch {
	let heard = noVersion;
	let aheadSince: number | undefined;

	function get(): number {
		return view.configuration()?.version ?? noVersion;
	}

	function isBehind(): boolean {
		return heard > get();
	}

	function measureBehind(): number {
		return aheadSince !== undefined && isBehind() ? performance.now() - aheadSince : 0;
	}

	return {
		get,
		isBehind,
		measureBehind,
		record(version) {
			heard = Math.max(heard, version);
			aheadSince = isBehind() ? aheadSince ?? performance.now() : undefined;
			metrics.gauge('gateway.configuration-version', get());
			metrics.gauge('gateway.configuration-heard', heard);
			metrics.gauge('gateway.configuration-behind-ms', Math.round(measureBehind()));
		},
	};
}
