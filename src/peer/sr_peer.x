/*
 * Messages between entry hosts, as ONC RPC. Generated files are in gen/; see
 * docs/design/membership.md for how they are made.
 */

const SR_RPC_NAME_MAX = 128;
const SR_RPC_CLUSTER_MAX = 64;
const SR_RPC_TEXT_MAX = 2048;
const SR_RPC_PATH_MAX = 8192;
const SR_RPC_BODY_MAX = 1048576;
const SR_RPC_DATAGRAM_MAX = 1200;
const SR_RPC_MAC_SIZE = 32;
const SR_RPC_NONCE_SIZE = 16;

/* The body of the credential of a call and of the verifier of a reply. */
struct sr_rpc_credential {
	string cluster<SR_RPC_CLUSTER_MAX>;
	string sender<SR_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	opaque mac[SR_RPC_MAC_SIZE];
};

struct sr_rpc_hello {
	opaque nonce[SR_RPC_NONCE_SIZE];
};

struct sr_rpc_gossip {
	opaque datagram<SR_RPC_DATAGRAM_MAX>;
};

struct sr_rpc_forward {
	string account<SR_RPC_NAME_MAX>;
	string service<SR_RPC_NAME_MAX>;
	string route<SR_RPC_NAME_MAX>;
	string method<SR_RPC_NAME_MAX>;
	string path<SR_RPC_PATH_MAX>;
	string content_type<SR_RPC_TEXT_MAX>;
	string key<SR_RPC_NAME_MAX>;
	string request_id<SR_RPC_NAME_MAX>;
	string traceparent<SR_RPC_NAME_MAX>;
	opaque body<SR_RPC_BODY_MAX>;
	unsigned int deadline_ms;
	bool is_async;
	unsigned int hops;
};

struct sr_rpc_forward_result {
	int err;
	int executed;
	string detail<SR_RPC_TEXT_MAX>;
	unsigned int status;
	string content_type<SR_RPC_TEXT_MAX>;
	opaque body<SR_RPC_BODY_MAX>;
	unsigned int retry_after_ms;
};

struct sr_rpc_fetch {
	string key<SR_RPC_NAME_MAX>;
};

struct sr_rpc_fetch_result {
	bool found;
	opaque value<SR_RPC_BODY_MAX>;
};

program SR_RPC_PROGRAM {
	version SR_RPC_VERSION {
		void SR_RPC_GOSSIP(sr_rpc_gossip) = 1;
		sr_rpc_hello SR_RPC_HELLO(sr_rpc_hello) = 2;
		sr_rpc_forward_result SR_RPC_FORWARD(sr_rpc_forward) = 3;
		sr_rpc_fetch_result SR_RPC_FETCH(sr_rpc_fetch) = 4;
	} = 1;
} = 0x20005352;
