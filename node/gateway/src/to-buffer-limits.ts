import type {BufferLimits} from '@valvesaddle/buffers';
import type {GatewaySettings} from '@valvesaddle/settings';

const bytesPerMb = 1_000_000;
const bytesPerKb = 1000;
const msPerSecond = 1000;

/**
 Converts the settings of held bytes to limits.

 @example
 toBufferLimits({...settings, memory_mb: 350, most_share: 0.25}).limitBytes; // 87_500_000
 */
export function toBufferLimits(settings: NonNullable<GatewaySettings['buffers']>): BufferLimits {
	return {
		limitBytes: settings.memory_mb * settings.most_share * bytesPerMb,
		pressureShare: settings.pressure_share,
		accountShare: settings.account_share,
		waitMs: settings.wait_ms,
		aheadBytes: settings.ahead_kb * bytesPerKb,
		unreadMs: settings.unread_ms,
		stuckMs: settings.stuck_s * msPerSecond,
	};
}
