import {hashKey} from '@valvesaddle/access';
import {checkSettings, type Settings} from '@valvesaddle/settings';
import {fleetKeys} from './fleet-keys.ts';

type FleetSettingsOptions = {
	readonly id: string;
	readonly kvUrl: string;
	readonly vmListUrl: string;
	readonly overrides: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
};

/**
 Settings for a node of the stand-in fleet, on free ports, with short times.

 @throws `ERR_VALVESADDLE_SETTINGS_INVALID` when an override is wrong.
 @example
 createFleetSettings({id: 'n1', kvUrl, vmListUrl, overrides: {}});
 */
export function createFleetSettings({id, kvUrl, vmListUrl, overrides}: FleetSettingsOptions): Settings {
	const tables: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
		node: {id, data_centre: 'dc-1', region: 'region-1'},
		listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'},
		peer: {token: fleetKeys.peer, gossip_ms: 200},
		platform: {
			kv_urls: [kvUrl], vm_list_url: vmListUrl, vm_list_poll_ms: 100, kv_timeout_ms: 300,
		},
		observe: {log_level: 'silent', trace_exporter: 'memory', trace_ratio: 1},
		dispatch: {warmup_ms: 50, progress_ms: 200, load_poll_ms: 300},
		limits: {abandon_ms: 500},
		drain: {grace_ms: 1},
	};
	const names = new Set([...Object.keys(tables), ...Object.keys(overrides)]);
	const merged = Object.fromEntries([...names].map(name => [name, {...tables[name], ...overrides[name]}]));
	const settings = checkSettings({
		...merged,
		operators: [
			{name: 'iva', role: 'editor', token_sha256: hashKey(fleetKeys.editor)},
			{name: 'ned', role: 'viewer', token_sha256: hashKey(fleetKeys.viewer)},
		],
	}, '');
	if (settings.isErr()) {
		throw settings.error;
	}

	return settings.value;
}
