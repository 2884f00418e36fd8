import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureProfile} from './measure-profile.ts';

/**
Profiles a fleet from the command line.
*/
const {values} = parseArgs({
	options: {
		nodes: {type: 'string', default: '40'},
		endpoints: {type: 'string', default: '60'},
		rate: {type: 'string', default: '150'},
		seconds: {type: 'string', default: '20'},
		flag: {type: 'string', multiple: true, default: []},
		sample: {type: 'boolean', default: false},
		binary: {type: 'string'},
	},
});
console.log(await measureProfile({
	nodes: Number(values.nodes), endpoints: Number(values.endpoints), requestsPerS: Number(values.rate), seconds: Number(values.seconds), isSampled: values.sample, flags: values.flag, binary: values.binary,
}));
process.exit();
