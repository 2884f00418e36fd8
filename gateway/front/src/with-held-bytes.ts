import type {Reply} from '@valvesaddle/forwarding';

/**
 Adds a callback to a reply, which is called whenever the bytes that wait for the caller may have changed.

 @example
 const reply = withHeldBytes(createReply(response, () => false), () => watch.update(answer));
 */
export function withHeldBytes(reply: Reply, onChanged: () => void): Reply {
	return {
		...reply,
		answer(status, headers, body) {
			reply.answer(status, headers, body);
			onChanged();
		},
		write(bytes) {
			const canTakeMore = reply.write(bytes);
			onChanged();
			return canTakeMore;
		},
		onDrain(resume) {
			reply.onDrain(() => {
				onChanged();
				resume();
			});
		},
	};
}
