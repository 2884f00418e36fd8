import {hash} from 'node:crypto';
import {startFakeServer} from '@valvesaddle/fake-http';
import type {Vm} from '@valvesaddle/types';
import type {FakeVmList} from './fake-vm-list.ts';

type FakeVmListOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly vms?: readonly Vm[];
};

/**
 Starts a stand-in for the list of VMs. `PUT /v1/vms` replaces the list, `GET /v1/vms` reads it.

 @example
 const vmList = await startFakeVmList({vms});
 vmList.set([]);
 */
export async function startFakeVmList(options: FakeVmListOptions = {}): Promise<FakeVmList> {
	let vms: readonly Vm[] = options.vms ?? [];
	let lagMs = 0;

	function set(next: readonly Vm[]): void {
		if (lagMs === 0) {
			vms = next;
			return;
		}

		setTimeout(() => {
			vms = next;
		}, lagMs).unref();
	}

	const server = await startFakeServer({
		host: options.host ?? '127.0.0.1',
		port: options.port ?? 0,
		handle(request, response) {
			if (request.method === 'PUT') {
				set(JSON.parse(request.body) as readonly Vm[]);
			}

			const text = JSON.stringify(vms);
			const tag = `"${hash('md5', text)}"`;
			response.setHeader('etag', tag);
			response.setHeader('content-type', 'application/json');
			if (request.headers['if-none-match'] === tag) {
				response.statusCode = 304;
				response.end();
				return;
			}

			response.end(text);
		},
	});

	return {
		...server,
		set,
		setLag(milliseconds) {
			lagMs = milliseconds;
		},
	};
}
