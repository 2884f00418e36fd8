import {startFakeEngine} from '@valvesaddle/fake-engine';
import {startFakeKv} from '@valvesaddle/fake-kv';
import {startFakeService} from '@valvesaddle/fake-service';
import {startFakeVmList} from '@valvesaddle/fake-vm-list';
import {createOperatorClient} from '@valvesaddle/operator-client';
import {createRouter} from '@valvesaddle/router';
import type {Configuration, Vm} from '@valvesaddle/types';
import {createDemoConfiguration} from './create-demo-configuration.ts';
import {createFleetSettings} from './create-fleet-settings.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {Fleet} from './fleet.ts';
import type {FleetNode} from './fleet-node.ts';
import type {FleetOptions} from './fleet-options.ts';
import {waitUntil} from './wait-until.ts';

/**
 Starts a fleet of router nodes with stand-ins around it, all in this process and on free ports, with the demonstration
 configuration in force.

 @example
 const fleet = await startFleet({nodes: 3, engines: [{}, {}]});
 await fleet.close();
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
	const kv = await startFakeKv();
	const vmList = await startFakeVmList();
	const engines = await Promise.all(options.engines.map(async engine => startFakeEngine(engine)));
	const service = await startFakeService();
	const nodes: FleetNode[] = [];
	let configuration = createDemoConfiguration({engineUrls: engines.map(({url}) => url), serviceUrl: service.url});
	configuration = options.configure?.(configuration) ?? configuration;
	let revision = 0;

	function writeNodes(): void {
		vmList.set(nodes.map(({id, peers}): Vm => ({
			id, role: 'router', address: peers, dataCentre: 'dc-1', region: 'region-1', state: 'live',
		})));
	}

	async function addNode(): Promise<FleetNode> {
		const id = `n${nodes.length + 1}`;
		const router = createRouter({
			settings: createFleetSettings({
				id, kvUrl: kv.url, vmListUrl: `${vmList.url}/v1/vms`, overrides: options.settings ?? {},
			}),
		});
		const node = {id, router, ...await router.start()};
		nodes.push(node);
		writeNodes();
		return node;
	}

	async function apply(change: (before: Configuration) => Configuration): Promise<number> {
		configuration = change(configuration);
		const client = createOperatorClient({url: `http://${nodes[0]?.operators}`, token: fleetKeys.editor});
		const reply = await client.applyConfiguration({
			changeId: `change-${revision + 1}`, expectedRevision: revision, configuration: configuration as never,
		});
		revision = reply.revision;
		await waitUntil(() => nodes.every(({router}) => router.status().revision >= revision));
		return revision;
	}

	for (let count = 0; count < options.nodes; count++) {
		// eslint-disable-next-line no-await-in-loop -- node ids follow the order
		await addNode();
	}

	await apply(same => same);
	await waitUntil(() => nodes.every(({router}) => router.status().members.length === nodes.length));

	return {
		nodes,
		kv,
		vmList,
		engines,
		service,
		apply,
		addNode,
		async close() {
			await Promise.all(nodes.map(async ({router}) => router.close()));
			await Promise.all([kv.close(), vmList.close(), service.close(), ...engines.map(async engine => engine.close())]);
		},
	};
}
