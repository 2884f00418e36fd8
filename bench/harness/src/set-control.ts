import {request} from 'undici';

/**
 Sets a control of a stand-in engine: `fault`, `slowness`, `leaving` or `crash`.

 @example
 await setControl(url, 'slowness', '10');
 */
export async function setControl(url: string, control: string, value: string): Promise<void> {
	const response = await request(`${url}/control/${control}`, {method: 'POST', body: value});
	await response.body.dump();
}
