#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/account_keys.h"

static const void *find_(const mmx_account_keys_t *keys, const char *key)
{
	return mmx_account_keys_find(keys, key, strlen(key));
}

static bool add_(mmx_account_keys_t *keys, const char *key, const void *owner)
{
	uint8_t digest[MMX_KEY_DIGEST_BYTES];

	mmx_account_keys_digest(keys, key, strlen(key), digest);
	return mmx_account_keys_add(keys, digest, owner);
}

static void remove_(mmx_account_keys_t *keys, const char *key,
		    const void *owner)
{
	uint8_t digest[MMX_KEY_DIGEST_BYTES];

	mmx_account_keys_digest(keys, key, strlen(key), digest);
	mmx_account_keys_remove(keys, digest, owner);
}

/* Guards against a key that identifies one of two accounts by the order in
 * which they were added, also after one of them has lost the key. */
static void test_shared_key_(void)
{
	mmx_account_keys_t *keys = mmx_account_keys_create();
	int a;
	int b;

	CU_ASSERT_TRUE(add_(keys, "k", &a));
	CU_ASSERT_TRUE(add_(keys, "k", &a));
	CU_ASSERT_EQUAL(mmx_account_keys_count(keys), 1);
	CU_ASSERT_PTR_EQUAL(find_(keys, "k"), &a);
	CU_ASSERT_FALSE(add_(keys, "k", &b));
	CU_ASSERT_PTR_NULL(find_(keys, "k"));
	remove_(keys, "k", &a);
	CU_ASSERT_PTR_EQUAL(find_(keys, "k"), &b);
	remove_(keys, "k", &a);
	CU_ASSERT_EQUAL(mmx_account_keys_count(keys), 1);
	CU_ASSERT_PTR_NULL(find_(keys, ""));
	mmx_account_keys_destroy(keys);
}

/* Guards against keys that become unreachable, or remain valid, when others are
 * removed or the table grows. */
static void test_many_keys_(void)
{
	enum { KEYS = 20000 };
	mmx_account_keys_t *keys = mmx_account_keys_create();
	uint8_t *owners = g_new0(uint8_t, KEYS);
	char text[24];
	int wrong = 0;
	int i;

	for (i = 0; i < KEYS; i++) {
		g_snprintf(text, sizeof(text), "key-%d", i);
		CU_ASSERT_TRUE(add_(keys, text, &owners[i]));
	}
	for (i = 0; i < KEYS; i += 3) {
		g_snprintf(text, sizeof(text), "key-%d", i);
		remove_(keys, text, &owners[i]);
	}
	for (i = 0; i < KEYS; i++) {
		g_snprintf(text, sizeof(text), "key-%d", i);
		wrong += find_(keys, text) != (i % 3 ? &owners[i] : NULL);
	}
	CU_ASSERT_EQUAL(wrong, 0);
	CU_ASSERT_EQUAL(mmx_account_keys_count(keys), KEYS - KEYS / 3 - 1);
	CU_ASSERT_TRUE(mmx_account_keys_bytes(keys) < (size_t)KEYS * 40);
	mmx_account_keys_destroy(keys);
	g_free(owners);
}

CU_TestInfo mmx_tests_account_keys[] = {
	{"a key that two owners have", test_shared_key_},
	{"many keys, some removed", test_many_keys_},
	CU_TEST_INFO_NULL,
};
