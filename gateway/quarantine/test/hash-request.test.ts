import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {hashRequest, type RequestIdentity} from '@valvesaddle/quarantine';

const identity: RequestIdentity = {
	host: 'permits.example', account: 'sawmill', method: 'POST', path: '/drafts/7?page=1', body: Buffer.from('a felling ticket'),
};

test('a repeated request has the same digest', t => {
	t.equal(hashRequest({...identity, body: Buffer.from('a felling ticket')}), hashRequest(identity));
	t.notMatch(hashRequest(identity), /sawmill|drafts|ticket/v);
	t.end();
});

const others: Readonly<Record<string, Partial<RequestIdentity>>> = {
	host: {host: 'other.example'},
	account: {account: 'depot'},
	'no account': {account: undefined},
	method: {method: 'PUT'},
	query: {path: '/drafts/7?page=2'},
	body: {body: Buffer.from('another ticket')},
	'no body': {body: undefined},
	'a body that repeats the end of the path': {path: '/drafts/7?page=', body: Buffer.from('1a felling ticket')},
};

for (const [what, change] of Object.entries(others)) {
	test(`requests that differ in ${what} have different digests`, t => {
		t.not(hashRequest({...identity, ...change}), hashRequest(identity));
		t.end();
	});
}
