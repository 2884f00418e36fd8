/**
 A process with all stand-ins of a measurement. Its one argument is a plan as JSON; it prints its addresses as JSON.
 */
import process from 'node:process';
import {startFakeEngine} from '@valvesaddle/fake-engine';
import {startFakeKv} from '@valvesaddle/fake-kv';
import {startFakeService} from '@valvesaddle/fake-service';
import {startFakeVmList} from '@valvesaddle/fake-vm-list';
import type {StandInsAddresses} from './stand-ins-addresses.ts';
import type {StandInsPlan} from './stand-ins-plan.ts';

const plan = JSON.parse(process.argv[2] ?? '{}') as StandInsPlan;
const kv = await startFakeKv();
const vmList = await startFakeVmList();
const service = await startFakeService();
const engines = await Promise.all(plan.engines.map(async engine => startFakeEngine(engine)));
const addresses: StandInsAddresses = {
	kv: kv.url, vmList: vmList.url, service: service.url, engines: engines.map(({url}) => url),
};
process.stdout.write(`${JSON.stringify(addresses)}\n`);
