import {test, type Test} from 'tap';
import {toValvesaddleError} from '@valvesaddle/error';
import {startFakeServer, type FakeServerOptions} from '@valvesaddle/fake-http';
import {startFakeService, type ServiceFault} from '@valvesaddle/fake-service';
import {createServiceClient, type ServiceRequest} from '@valvesaddle/service';

function createClient(t: Test) {
	const client = createServiceClient({connectMs: 200, replyMs: 200});
	t.teardown(client.close);
	return client;
}

function createRequest(url: string, part: Partial<ServiceRequest> = {}): ServiceRequest {
	return {
		url, method: 'POST', path: '/issue', contentType: 'application/json', body: '{}', idempotencyKey: 'k', trace: {}, ...part,
	};
}

async function getCode(t: Test, url: string): Promise<string> {
	try {
		await createClient(t).call(createRequest(url), new AbortController().signal);
		return '';
	} catch (error) {
		return toValvesaddleError(error).code;
	}
}

test('a call is forwarded with its idempotency key, and the service\'s reply is returned unchanged', async t => {
	let seen: unknown;
	const server = await startFakeServer({
		handle(request, response) {
			seen = [request.method, request.path, request.body, request.headers['idempotency-key'], request.headers.traceparent];
			response.statusCode = 201;
			response.setHeader('content-type', 'text/plain');
			response.end('done');
		},
	});
	t.teardown(server.close);
	const reply = await createClient(t).call(createRequest(server.url, {method: 'PUT', trace: {traceparent: 'tp'}}), new AbortController().signal);
	t.same(reply, {status: 201, contentType: 'text/plain', body: 'done'});
	t.same(seen, ['PUT', '/issue', '{}', 'k', 'tp']);
});

const faults: ReadonlyArray<readonly [ServiceFault, string]> = [
	['refuse', 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN'],
	['fail', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['drop-after', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
];

for (const [fault, code] of faults) {
	test(`a service with the fault "${fault}" gives ${code}`, async t => {
		const service = await startFakeService();
		t.teardown(service.close);
		service.setFault(fault);
		t.equal(await getCode(t, service.url), code);
	});
}

const handlers: ReadonlyArray<readonly [string, FakeServerOptions['handle'], string]> = [
	['stalled before its headers', () => undefined, 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['interrupted in its body', (_request, response) => {
		response.writeHead(200, {'content-length': '100'});
		response.write('half');
		setImmediate(() => {
			response.destroy();
		});
	}, 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['a client error', (_request, response) => {
		response.statusCode = 422;
		response.end('no such truck');
	}, ''],
];

for (const [name, handle, code] of handlers) {
	test(`a reply that is ${name} is ${code === '' ? 'passed on' : code}`, async t => {
		const server = await startFakeServer({handle});
		t.teardown(server.close);
		t.equal(await getCode(t, server.url), code);
	});
}

test('a call to a terminated service is classified as not run', async t => {
	const service = await startFakeService();
	await service.close();
	t.equal(await getCode(t, service.url), 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN');
});
